export {compareConfigurations} from './compare-configurations.ts';
export {emptyConfiguration} from './empty-configuration.ts';
export {formatRecord} from './format-record.ts';
export {parseRecord} from './parse-record.ts';
export {validateConfiguration} from './validate-configuration.ts';
