export {closeServer} from './close-server.ts';
export {formatServerAddress} from './format-server-address.ts';
export {parseAddress} from './parse-address.ts';
export {startServer} from './start-server.ts';
