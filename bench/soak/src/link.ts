import type {LinkMode} from './link-mode.ts';

/**
A way that can be disturbed.
*/
export type Link = {
	readonly address: string;
	readonly setMode: (mode: LinkMode) => void;
	readonly close: () => void;
};
