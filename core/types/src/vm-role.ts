/**
What runs on a VM of the platform's list.
*/
export type VmRole = 'router' | 'endpoint';
