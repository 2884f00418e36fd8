export type {FakeRequest} from './fake-request.ts';
export type {FakeServer} from './fake-server.ts';
export type {FakeServerOptions} from './fake-server-options.ts';
export {startListening} from './start-listening.ts';
export {startFakeServer} from './start-fake-server.ts';
