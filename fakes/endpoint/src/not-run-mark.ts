/**
Header by which an endpoint says that it did not and will not run a request.
*/
export const notRunMark = {'x-not-executed': '1'} as const;
