/**
What bytes are held for: the body of a request, an answer or a part of one that is received but not sent on, or one that waits for
its caller to read.
*/
export type ByteKind = 'body' | 'received' | 'unsent';
