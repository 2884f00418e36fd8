/**
Whether an endpoint takes new work; one that is `cooling` has asked for none for some time.
*/
export type EndpointState = 'live' | 'probing' | 'cooling' | 'ejected' | 'leaving';
