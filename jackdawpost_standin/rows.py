"""Rows in SQLite: one copy that executes and one that shows commits."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Sequence
from typing import Any

from jackdawpost.errors import JackdawpostError
from jackdawpost_standin.log import Record
from jackdawpost_standin.log import Result

MS_PER_SECOND = 1_000

# Leaves room for column names and other fields in a frame of 1 MiB.
MAX_RESULT_BYTES = 900_000
# Upper bound on the encoded size of a number or of a text's header.
CELL_OVERHEAD_BYTES = 9

# SQLite instructions between two checks of the statement's deadline.
DEADLINE_CHECK_STEPS = 50_000

STATEMENT_CACHE = 512

# Their results differ between replicas that replay the statement.
_NONDETERMINISTIC = frozenset(
    {
        'random',
        'randomblob',
        'current_time',
        'current_date',
        'current_timestamp',
        'last_insert_rowid',
        'total_changes',
    }
)
# The transaction and the file belong to the engine, not to statements.
_DENIED_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    }
)
_READ_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    }
)
# The comment keeps the engine's statements apart from equal statements of
# callers in the statement cache, which skips the authorizer.
_BEGIN = 'BEGIN /* engine */'
_COMMIT = 'COMMIT /* engine */'
_ROLLBACK = 'ROLLBACK /* engine */'
_SAVEPOINT = 'SAVEPOINT engine_statement'
_ROLLBACK_TO = 'ROLLBACK TO engine_statement'
_RELEASE = 'RELEASE engine_statement'
_ENGINE_SQL = frozenset(
    {_BEGIN, _COMMIT, _ROLLBACK, _SAVEPOINT, _ROLLBACK_TO, _RELEASE}
)
_PARAM_TYPES = frozenset({str, int, float, bytes, bool, type(None)})
_STATEMENT_ERRORS = (
    sqlite3.Error,
    sqlite3.Warning,
    OverflowError,
    ValueError,
    TypeError,
)


class StatementError(JackdawpostError):
    """A statement failed and changed nothing."""


class StatementTimeoutError(StatementError):
    """A statement ran out of time and changed nothing."""


class SqliteCopy:
    """One in-memory SQLite database.

    Parameters
    ----------
    deterministic : bool
        Refuse functions whose results differ between replicas.
    """

    def __init__(self, deterministic: bool) -> None:
        self._conn = sqlite3.connect(
            ':memory:',
            isolation_level=None,
            cached_statements=STATEMENT_CACHE,
            check_same_thread=False,
        )
        self._deterministic = deterministic
        self._internal = False
        self._actions: set[int] = set()
        self._read_only: dict[str, bool] = {}
        self._deadline = 0.0
        self._conn.set_authorizer(self._authorize)
        self._conn.set_progress_handler(
            self._is_past_deadline, DEADLINE_CHECK_STEPS
        )

    def close(self) -> None:
        """Release the memory."""
        self._conn.close()

    def copy_from(self, other: SqliteCopy) -> None:
        """Take over all rows of another copy."""
        self._deadline = 0.0
        other._deadline = 0.0
        other._conn.backup(self._conn)

    def control(self, sql: str) -> None:
        """Run a transaction statement of the engine."""
        self._internal = True
        try:
            self._conn.execute(sql)
        finally:
            self._internal = False

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._conn.in_transaction

    def run(
        self,
        sql: str,
        params: Sequence[Any] | None,
        deadline: float = 0.0,
    ) -> Result:
        """Run one statement to its end.

        Parameters
        ----------
        sql : str
            Statement text.
        params : sequence, optional
            Positional parameters.
        deadline : float
            ``time.monotonic()`` in seconds after which the statement is
            stopped; 0 for none.

        Raises
        ------
        StatementError
            The statement failed; it changed nothing.
        """
        if sql in _ENGINE_SQL:
            raise StatementError('not authorized')
        if params:
            _check_params(params)
        self._deadline = deadline
        try:
            cursor = self._conn.execute(sql, params or ())
            if cursor.description is None:
                return Result(row_count=max(cursor.rowcount, 0))
            rows = [list(row) for row in cursor.fetchall()]
        except sqlite3.OperationalError as exc:
            if str(exc) == 'interrupted':
                raise StatementTimeoutError('ran out of time') from exc
            raise StatementError(str(exc)) from exc
        except _STATEMENT_ERRORS as exc:
            raise StatementError(str(exc)) from exc
        _check_size(rows)
        columns = [column[0] for column in cursor.description]
        return Result(columns, rows, len(rows))

    def is_read_only(self, sql: str, params: Sequence[Any] | None) -> bool:
        """Tell whether a statement cannot change anything.

        Raises
        ------
        StatementError
            The statement cannot be prepared.
        """
        if sql[:6].upper() == 'SELECT':
            return True
        known = self._read_only.get(sql)
        if known is None:
            # A new text each time, so that it is not in the statement cache
            # and the authorizer sees its actions.
            self._actions.clear()
            number = len(self._read_only)
            self.run(f'EXPLAIN /* {number} */ {sql}', params)
            known = bool(self._actions) and self._actions <= _READ_ACTIONS
            self._read_only[sql] = known
        return known

    def _authorize(
        self,
        action: int,
        _arg1: str | None,
        arg2: str | None,
        _database: str | None,
        _trigger: str | None,
    ) -> int:
        if self._internal:
            return sqlite3.SQLITE_OK
        self._actions.add(action)
        if action in _DENIED_ACTIONS:
            return sqlite3.SQLITE_DENY
        if (
            self._deterministic
            and action == sqlite3.SQLITE_FUNCTION
            and arg2 is not None
            and arg2.lower() in _NONDETERMINISTIC
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    def _is_past_deadline(self) -> bool:
        return 0.0 < self._deadline < time.monotonic()


def _check_params(params: Sequence[Any]) -> None:
    for value in params:
        if type(value) not in _PARAM_TYPES:
            raise StatementError(
                f'parameter of type {type(value).__name__}: valid are text, '
                'numbers, bytes and null'
            )


def _check_size(rows: list[list[Any]]) -> None:
    size = 0
    for row in rows:
        for cell in row:
            size += CELL_OVERHEAD_BYTES
            if type(cell) is bytes:
                size += len(cell)
            elif type(cell) is str:
                size += len(cell) if cell.isascii() else len(cell.encode())
    if size > MAX_RESULT_BYTES:
        raise StatementError(
            f'result of {size} bytes: valid are up to {MAX_RESULT_BYTES}'
        )


class RowStore:
    """Rows of the database.

    Reads see the committed copy, to which records are applied one whole
    transaction at a time. A primary runs writes on a second copy first, so
    that reads never wait for an open transaction.
    """

    def __init__(self) -> None:
        self._committed = SqliteCopy(deterministic=False)
        self._executing: SqliteCopy | None = None
        self.apply_failures = 0

    def clear(self) -> None:
        """Remove everything, before the log is applied anew."""
        self.stop_leading()
        self._committed.close()
        self._committed = SqliteCopy(deterministic=False)

    def start_leading(self) -> None:
        """Prepare the copy that executes writes."""
        self.stop_leading()
        self._executing = SqliteCopy(deterministic=True)
        self._executing.copy_from(self._committed)

    def stop_leading(self) -> None:
        """Drop the executing copy with any open transaction."""
        if self._executing is not None:
            self._executing.close()
            self._executing = None

    def apply(self, records: Sequence[Record]) -> None:
        """Make committed transactions visible to reads."""
        copy = self._committed
        for record in records:
            self._apply_one(copy, record)

    def _apply_one(self, copy: SqliteCopy, record: Record) -> None:
        try:
            if not record.statements:
                return
            if len(record.statements) == 1:
                copy.run(*record.statements[0])
                return
            copy.control(_BEGIN)
            for sql, params in record.statements:
                copy.run(sql, params)
            copy.control(_COMMIT)
        except StatementError:
            # The statement succeeded on the primary, so this replica differs.
            self.apply_failures += 1
            if copy.in_transaction:
                copy.control(_ROLLBACK)

    def read(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a read on the committed rows."""
        copy = self._committed
        if not copy.is_read_only(sql, params):
            raise StatementError('access is read but the statement writes')
        return copy.run(sql, params, deadline)

    def write(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a write as the primary, alone or in the open transaction."""
        copy = self._primary_copy()
        if 'RETURNING' not in sql.upper():
            return copy.run(sql, params, deadline)
        # A result that is too large fails after the rows have changed.
        copy.control(_SAVEPOINT)
        try:
            result = copy.run(sql, params, deadline)
        except StatementError:
            if copy.in_transaction:
                copy.control(_ROLLBACK_TO)
                copy.control(_RELEASE)
            raise
        copy.control(_RELEASE)
        return result

    def read_in_txn(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a read in the open transaction."""
        copy = self._primary_copy()
        if not copy.is_read_only(sql, params):
            raise StatementError('access is read but the statement writes')
        return copy.run(sql, params, deadline)

    def begin(self) -> None:
        """Open the transaction."""
        self._primary_copy().control(_BEGIN)

    def commit(self) -> None:
        """Commit the open transaction."""
        self._primary_copy().control(_COMMIT)

    def rollback(self) -> None:
        """Roll back the open transaction if there is one."""
        copy = self._executing
        if copy is not None and copy.in_transaction:
            copy.control(_ROLLBACK)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the primary's copy."""
        return self._executing is not None and self._executing.in_transaction

    def _primary_copy(self) -> SqliteCopy:
        if self._executing is None:
            raise StatementError('this database does not lead')
        return self._executing
