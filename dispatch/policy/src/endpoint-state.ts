/**
Whether an endpoint may get new requests.

- `live`: yes.
- `probing`: one retryable request at a time, after an ejection.
- `cooling`: no, until the cooldown that the endpoint requested is over.
- `ejected`: no, until the ejection is over.
- `leaving`: no, the endpoint is draining.
*/
export type EndpointState = 'live' | 'probing' | 'cooling' | 'ejected' | 'leaving';
