export {formatTable} from './format-table.ts';
export {parseExperiment} from './parse-experiment.ts';
export {runVariant} from './run-variant.ts';
