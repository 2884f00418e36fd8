/**
Time after which evidence ages by one step, in milliseconds.
*/
export const evidenceStepMs = 300;
