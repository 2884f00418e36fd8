/**
How the store treats a call: as it should, or it refuses it by an answer, breaks the connection or never answers.
*/
export type StoreResponseMode = 'served' | 'status' | 'reset' | 'silence';
