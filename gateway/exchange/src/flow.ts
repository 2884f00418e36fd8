/**
Whether a reader can take more data.
*/
export type Flow = 'more' | 'pause';
