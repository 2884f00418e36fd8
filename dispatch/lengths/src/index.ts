export {createLengthModel} from './create-length-model.ts';
export type {LengthModel} from './length-model.ts';
