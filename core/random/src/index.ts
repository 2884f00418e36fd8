export {createRandom} from './create-random.ts';
