/**
Whether an endpoint takes new work.
*/
export type EndpointState = 'live' | 'probing' | 'ejected' | 'leaving';
