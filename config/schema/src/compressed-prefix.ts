/**
Begins every compressed record.
*/
export const compressedPrefix = 'gzip:';
