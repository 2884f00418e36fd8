/**
Prefix of a compressed record.
*/
export const compressedPrefix = 'gzip:';
