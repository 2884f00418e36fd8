export type {FakeRequest} from './fake-request.ts';
export type {FakeServerOptions} from './fake-server-options.ts';
export type {FakeServer} from './fake-server.ts';
export {findFreeAddress} from './find-free-address.ts';
export {openSocketPair} from './open-socket-pair.ts';
export {startFakeServer} from './start-fake-server.ts';
export {startListening} from './start-listening.ts';
export {waitBlocking} from './wait-blocking.ts';
