import {toValvesaddleError} from '@valvesaddle/error';
import type {Logger} from '@valvesaddle/logger';
import type {LoadSync} from './load-sync.ts';

type LoadUpdateHandlerOptions = {
	readonly loadSync: Pick<LoadSync, 'applyLoadUpdate'>;
	readonly logger: Pick<Logger, 'warn'>;
};

/**
 Creates the handler of peers' load updates, which logs a rejected one. The link counts it as failed.

 @throws `ERR_VALVESADDLE_MESSAGE_INVALID` for a malformed update.
 @example
 const handleLoadUpdate = createLoadUpdateHandler({loadSync, logger});
 handleLoadUpdate({nodes: 1, loads: [], placements: []}, 'n2');
 */
export function createLoadUpdateHandler({loadSync, logger}: LoadUpdateHandlerOptions): (parameters: unknown, node: string) => void {
	return (parameters, node) => {
		try {
			loadSync.applyLoadUpdate(parameters, node);
		} catch (error) {
			logger.warn({name: 'load-update-rejected', peer: node, reason: toValvesaddleError(error).message});
			throw error;
		}
	};
}
