"""A certificate authority and host certificates for tests."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
NOT_AFTER = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


class CertificateAuthority:
    """Issues certificates for 127.0.0.1."""

    def __init__(self, directory: Path) -> None:
        """Create a key and write its self-signed certificate."""
        self._directory = directory
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = make_name('authority')
        builder = make_builder(self._name, self._name, self._key).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self.path = directory / 'authority.pem'
        write_certificate(self.path, builder.sign(self._key, hashes.SHA256()))

    def issue(self, common_name: str) -> tuple[Path, Path]:
        """
        Write a certificate and its key, replacing former ones.

        :return: the paths of the certificate and of the key.
        """
        import ipaddress

        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
        builder = make_builder(
            make_name(common_name), self._name, key
        ).add_extension(x509.SubjectAlternativeName([address]), critical=False)
        certificate_path = self._directory / 'host.pem'
        key_path = self._directory / 'host.key'
        write_certificate(
            certificate_path, builder.sign(self._key, hashes.SHA256())
        )
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )
        return certificate_path, key_path


def make_name(common_name: str) -> x509.Name:
    """Return a distinguished name that consists of a common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def make_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
) -> x509.CertificateBuilder:
    """Return the builder of a certificate, ready to be signed."""
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOT_BEFORE)
        .not_valid_after(NOT_AFTER)
    )


def write_certificate(path: Path, certificate: x509.Certificate) -> None:
    """Write a certificate to a file in PEM format."""
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
