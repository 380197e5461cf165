"""Identifiers used across the package."""

from typing import NewType

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
EndpointId = NewType("EndpointId", str)
ServiceName = NewType("ServiceName", str)
CustomerId = NewType("CustomerId", str)
RouteName = NewType("RouteName", str)
RecordId = NewType("RecordId", str)
Revision = NewType("Revision", int)
Offset = NewType("Offset", int)
StoreEra = NewType("StoreEra", int)
Incarnation = NewType("Incarnation", int)
