import type {Settings} from '@valvesaddle/settings';

/**
Options of `createRouter`.
*/
export type RouterOptions = {
	readonly settings: Settings;
	/**
	Called when a drain that an operator requested has ended.
	*/
	readonly onDrained?: () => void;
};
