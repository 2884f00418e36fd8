/**
Handlers of the methods that peers call, by method name. `peer` is the id of the calling node.
*/
export type PeerHandlers = Readonly<Record<string, (parameters: unknown, peer: string) => unknown>>;
