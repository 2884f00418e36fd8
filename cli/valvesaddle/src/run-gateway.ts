import {readFileSync} from 'node:fs';
import process from 'node:process';
import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {createGateway} from '@valvesaddle/gateway';
import {parseGatewaySettings, type GatewaySettings} from '@valvesaddle/settings';
import {exitCodes} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';

/**
 Runs a gateway node until SIGTERM or SIGINT; resolves to the exit code. SIGHUP reloads the settings.

 @param file - Settings in TOML.
 @throws `ERR_VALVESADDLE_SETTINGS_INVALID`, or the system's error when the settings file cannot be read or an address is not available.
 @example
 await runGateway('gateway.toml');
 */
export async function runGateway(file: string | undefined): Promise<number> {
	const gateway = createGateway({settings: readSettings(file)});
	process.on('SIGHUP', () => {
		try {
			gateway.reload(readSettings(file));
		} catch (error) {
			gateway.rejectReload(error);
		}
	});
	// A signal during the start must not end the process while requests are open.
	const signalled = runUntilSignal();
	await gateway.start();
	await signalled;
	await gateway.drain();
	return exitCodes.done;
}

/**
Reads synchronously, since loading `node:fs/promises` costs more startup time than reading the small file.
*/
function readSettings(file: string | undefined): GatewaySettings {
	if (file === undefined) {
		throw new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', 'no settings file is named: pass --settings or set VALVESADDLE_SETTINGS');
	}

	return unwrapResult(parseGatewaySettings(readFileSync(file, 'utf8')));
}
