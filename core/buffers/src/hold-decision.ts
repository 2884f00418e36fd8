/**
Whether bytes are held now, later once others are released, or not at all.
*/
export type HoldDecision = 'hold' | 'wait' | 'refuse';
