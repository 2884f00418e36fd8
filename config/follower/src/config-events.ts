import type {ConfigurationRecord} from '@valvesaddle/types';

/**
Events of a configuration follower.
*/
export type ConfigEvents = {
	/**
	A newer configuration was applied on this node.
	*/
	readonly changed: ConfigurationRecord;
};
