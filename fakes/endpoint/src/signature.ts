/**
Header by which an endpoint vouches for an answer.
*/
export const signature = {'x-response-seal': 'seal'} as const;
