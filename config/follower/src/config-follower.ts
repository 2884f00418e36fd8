import type Emittery from 'emittery';
import type {Configuration, ConfigurationRecord} from '@valvesaddle/types';
import type {ConfigEvents} from './config-events.ts';

/**
Keeps the newest accepted configuration in force on this node; never goes back to an older one.
*/
export type ConfigFollower = {
	readonly events: Emittery<ConfigEvents>;
	readonly start: () => void;
	/**
	The record in force; `undefined` until one is known.
	*/
	readonly record: () => ConfigurationRecord | undefined;
	/**
	The record in force as it goes over the wire; `undefined` until one is known.
	*/
	readonly text: () => string | undefined;
	readonly configuration: () => Configuration;
	readonly revision: () => number;
	/**
	Takes over a record from a peer or an accepted change, if it is newer.
	*/
	readonly offer: (record: ConfigurationRecord, source: string) => void;
	/**
	Takes over a record in the form in which it came over the wire.
	*/
	readonly offerText: (text: unknown, source: string) => void;
	/**
	Whether the key-value service has said whether there is a configuration at all.
	*/
	readonly isInitialized: () => boolean;
	readonly close: () => void;
};
