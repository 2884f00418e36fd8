/**
W3C trace context in the form in which it goes over the wire.
*/
export type TraceCarrier = Readonly<Record<string, string>>;
