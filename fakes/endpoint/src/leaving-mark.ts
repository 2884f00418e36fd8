/**
Header by which an endpoint says in an answer that it is leaving.
*/
export const leavingMark = {'server-leaving': '1'} as const;
