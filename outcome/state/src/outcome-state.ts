/**
State of a request.
*/
export type OutcomeState = 'accepted' | 'queued' | 'granted' | 'sent' | 'streaming' | 'complete' | 'refused' | 'failed';
