/**
Where a request stands. The words given to its caller follow from this alone.
*/
export type OutcomeState = 'accepted' | 'queued' | 'granted' | 'sent' | 'streaming' | 'complete' | 'refused' | 'failed';
