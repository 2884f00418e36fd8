export {buildEngineBody} from './build-engine-body.ts';
export {createEngineClient} from './create-engine-client.ts';
export type {EngineClient} from './engine-client.ts';
export type {EngineClientOptions} from './engine-client-options.ts';
export type {EngineEvent} from './engine-event.ts';
export type {EngineLoad} from './engine-load.ts';
export type {EngineRequest} from './engine-request.ts';
export {readChunk} from './read-chunk.ts';
