/**
A way of callers to a node that can be thin. It holds back no more than a few pieces, so that a node notices a caller who reads slowly.
*/
export type ThinLink = {
	readonly address: string;
	readonly setThin: (isThin: boolean) => void;
	readonly close: () => void;
};
