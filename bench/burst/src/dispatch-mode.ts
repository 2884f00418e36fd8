/**
The two ways that are compared.
*/
export type DispatchMode = 'alone' | 'pool';
