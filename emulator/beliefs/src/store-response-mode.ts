/**
How the store responds to a call: normally, with an error status, with a broken connection or not at all.
*/
export type StoreResponseMode = 'served' | 'status' | 'reset' | 'silence';
