/**
W3C trace context as headers.
*/
export type TraceCarrier = Readonly<Record<string, string>>;
