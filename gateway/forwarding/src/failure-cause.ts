/**
Why an attempt brought no usable answer: what the endpoint did (`connection`, `refused`, `failed`, `untrusted`, `truncated`), what is
known of it (`restarted`, `stalled`, `silent`), or what the node decided (`unsent`, `too-large`).
*/
export type FailureCause = 'connection' | 'refused' | 'failed' | 'untrusted' | 'truncated' | 'restarted' | 'stalled' | 'silent' | 'unsent' | 'too-large';
