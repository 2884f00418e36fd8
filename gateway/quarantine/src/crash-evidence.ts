/**
What shows that an endpoint's process has ended: it refuses connections, its entry was removed though it had not announced that it
drains, or another process took its place.
*/
export type CrashEvidence = 'refused' | 'removed' | 'restarted';
