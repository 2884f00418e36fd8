/**
A listening stand-in.
*/
export type FakeServer = {
	readonly url: string;
	readonly address: string;
	/**
	Breaks every open connection at once.
	*/
	readonly cut: () => void;
	readonly close: () => Promise<void>;
};
