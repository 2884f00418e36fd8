/**
Notes that a peer has a newer revision; fetches it from there unless the watch brings it first.
*/
export type CatchUp = (revision: number, peer: string) => void;
