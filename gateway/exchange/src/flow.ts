/**
Whether a reader wants more.
*/
export type Flow = 'more' | 'pause';
