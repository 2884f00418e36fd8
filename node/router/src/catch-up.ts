/**
Records that a peer has a newer revision, and reads it from that peer unless the watch delivers it first.
*/
export type CatchUp = (revision: number, peer: string) => void;
