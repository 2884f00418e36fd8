/**
Whether a request goes on waiting or is refused.
*/
export type WaitingDecision = 'wait' | 'refuse';
