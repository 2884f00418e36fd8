/**
Stands for the version of a configuration that is not known.
*/
export const noVersion = -1;
