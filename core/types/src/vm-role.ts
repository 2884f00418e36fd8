/**
Role of a VM in the platform's VM list.
*/
export type VmRole = 'router' | 'endpoint';
