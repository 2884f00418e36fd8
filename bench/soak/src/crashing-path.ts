/**
Path of the request that ends each process that runs it.
*/
export const crashingPath = '/unsafe/crash';
