import {err, ok, type Result} from 'neverthrow';
import {hashKey} from '@valvesaddle/access';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Operator} from './operator.ts';
import type {OperatorRole} from './operator-role.ts';

const bearerPattern = /^bearer (?<token>\S+)$/iv;
const permittedRoles: Readonly<Record<OperatorRole, readonly OperatorRole[]>> = {
	viewer: ['viewer', 'editor'],
	editor: ['editor'],
};

/**
 Finds the operator of an `Authorization` header and checks that the role is enough.

 @example
 authorizeOperator(operators, 'Bearer token', 'editor').isOk();
 */
export function authorizeOperator(operators: readonly Operator[], authorization: string | undefined, needed: OperatorRole): Result<Operator, ValvesaddleError> {
	const token = bearerPattern.exec(authorization ?? '')?.groups?.token;
	const operator = token === undefined ? undefined : operators.find(({tokenHash}) => tokenHash === hashKey(token));
	if (operator === undefined) {
		return err(new ValvesaddleError('ERR_VALVESADDLE_OPERATOR_UNAUTHENTICATED', 'the operator token is missing or unknown'));
	}

	return permittedRoles[needed].includes(operator.role)
		? ok(operator)
		: err(new ValvesaddleError('ERR_VALVESADDLE_OPERATOR_FORBIDDEN', `operator "${operator.name}" is a ${operator.role}`));
}
