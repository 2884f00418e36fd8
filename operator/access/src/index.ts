export {authorizeOperator} from './authorize-operator.ts';
export type {Operator} from './operator.ts';
export type {OperatorRole} from './operator-role.ts';
