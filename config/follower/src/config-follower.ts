import type Emittery from 'emittery';
import type {Configuration, ConfigurationRecord} from '@valvesaddle/types';
import type {ConfigEvents} from './config-events.ts';

/**
Keeps this node on the newest accepted configuration; never returns to an older one.
*/
export type ConfigFollower = {
	readonly events: Emittery<ConfigEvents>;
	readonly start: () => void;
	/**
	The current record; `undefined` before the first one.
	*/
	readonly record: () => ConfigurationRecord | undefined;
	/**
	The current record as sent to peers; `undefined` before the first one.
	*/
	readonly text: () => string | undefined;
	readonly configuration: () => Configuration;
	readonly revision: () => number;
	/**
	Applies a record from a peer or an accepted change if it is newer.
	*/
	readonly offer: (record: ConfigurationRecord, source: string) => void;
	/**
	Parses a record received from a peer and applies it if it is newer; an invalid one is counted and ignored.
	*/
	readonly offerText: (text: unknown, source: string) => void;
	/**
	Whether the key-value service has answered at least once, with or without a configuration.
	*/
	readonly isInitialized: () => boolean;
	readonly close: () => void;
};
