/**
Version while there is no configuration.
*/
export const noVersion = -1;
