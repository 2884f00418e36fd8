/**
Reading of a connection from the operating system. What was read before it is closed stays to be parsed.
*/
export type Inlet = {
	readonly close: () => void;
	readonly open: () => void;
};
