import type {ConfigurationRecord} from '@valvesaddle/types';

/**
What the follower tells.
*/
export type ConfigEvents = {
	/**
	A newer configuration is in force on this node.
	*/
	readonly changed: ConfigurationRecord;
};
