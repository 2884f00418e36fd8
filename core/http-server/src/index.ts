export {addErrorGuard} from './add-error-guard.ts';
export {closeServer} from './close-server.ts';
export type {ConnectionTracker} from './connection-tracker.ts';
export {createConnectionTracker} from './create-connection-tracker.ts';
export {formatServerAddress} from './format-server-address.ts';
export {getParserStatus} from './get-parser-status.ts';
export {parseAddress} from './parse-address.ts';
export {startServer} from './start-server.ts';
