import type {ServerResponse} from 'node:http';
import type {FakeRequest} from './fake-request.ts';

/**
Options of `startFakeServer`.
*/
export type FakeServerOptions = {
	readonly host?: string;
	/**
	0 for any free port.
	*/
	readonly port?: number;
	readonly handle: (request: FakeRequest, response: ServerResponse) => Promise<void> | void;
};
